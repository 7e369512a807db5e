-- A host sleeps for 6 s and wakes as if nothing had happened, with orders in
-- its hands. Its stewardships have gone to others meanwhile: nothing that it
-- still sends may run beside its successors' work.
start{}
load{seconds = 14, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(3)
local all = hosts()
local victim = all[random(#all)]
freeze(victim)
sleep(6)
thaw(victim)
wait_load()
check{}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 4, service .. " was unavailable for 4 s")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
