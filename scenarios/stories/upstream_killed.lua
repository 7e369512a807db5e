-- An instance of each service dies and comes back cold six seconds later. Its
-- keys go to others; back again, it gets no more than it bears while cold.
start{}
load{seconds = 14, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(3)
local victims = {"stoc-" .. random(15), "archeb-" .. random(8),
                 "pecyn-" .. random(6), "cysoni-" .. random(15)}
for _, id in ipairs(victims) do upstream{id = id, ["do"] = "crash"} end
sleep(6)
for _, id in ipairs(victims) do upstream{id = id, ["do"] = "start"} end
wait_load()
check{}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 4, service .. " was unavailable for 4 s")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
