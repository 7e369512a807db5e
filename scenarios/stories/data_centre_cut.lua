-- All hosts of one data centre are cut from the others for 6 s and healed.
start{relayed = true}
load{seconds = 15, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(3)
cut{from = "wrecsam", to = "caerdydd"}
cut{from = "wrecsam", to = "abertawe"}
sleep(6)
heal{}
wait_load()
check{}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 4, service .. " was unavailable for 4 s")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
