-- The table takes writes, but a third of its answers are lost, while a host
-- dies and comes back. A write that took effect must not be done again.
start{}
platform{lose_probability = 0.33}
load{seconds = 13, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(2)
local all = hosts()
local victim = all[random(#all)]
kill(victim)
sleep(5)
start_host(victim)
wait_load()
check{}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 4, service .. " was unavailable for 4 s")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
