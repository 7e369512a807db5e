-- Every upstream of a data centre restarts at once and comes back cold. Full
-- load on them would make them fall over; they warm up by what they bear.
start{}
load{seconds = 12, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(3)
upstream{data_centre = "caerdydd", ["do"] = "cold"}
wait_load()
check{}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 4, service .. " was unavailable for 4 s")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
