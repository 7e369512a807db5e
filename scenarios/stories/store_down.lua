-- The platform's store hangs for 9 s, then refuses for 6 s. Nothing else
-- fails, so nobody may notice: no lease and no grant depends on it.
start{}
load{seconds = 20, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(2)
platform{outage = "hang"}
sleep(9)
platform{outage = "refuse"}
sleep(6)
platform{outage = "none"}
wait_load()
check{nothing_cut = true}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) == 0, service .. " was unavailable")
end
