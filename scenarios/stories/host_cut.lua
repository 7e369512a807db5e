-- One host is cut from all others for 6 s and healed; its late orders arrive
-- then. Callers still reach it. Its keys go to others in under 4 s.
start{relayed = true}
load{seconds = 15, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(3)
local all = hosts()
local victim = all[random(#all)]
cut{from = victim}
sleep(6)
heal{}
wait_load()
check{}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 4, service .. " was unavailable for 4 s")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
