-- A host dies with requests in flight. Its upstreams get other stewards, its
-- keys are served again in under 4 s, and no booking runs twice.
start{}
load{seconds = 11, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(3)
local all = hosts()
local victim = all[random(#all)]
kill(victim)
endpoint{service = "kumquatd", id = victim, state = "gone"}
wait_load()
check{}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 4, service .. " was unavailable for 4 s")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
