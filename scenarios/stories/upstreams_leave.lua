-- One instance is listed as leaving, another only says itself that it drains.
-- Neither gets new work after a few seconds; no request is cut.
start{}
load{seconds = 12, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(3)
endpoint{service = "stoc", id = "stoc-4", state = "leaving"}
upstream{id = "archeb-2", ["do"] = "drain"}
upstream{id = "stoc-9", ["do"] = "drain"}
wait_load()
check{nothing_cut = true}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 4, service .. " was unavailable for 4 s")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
-- The list shows it a second late.
expect(count_runs("stoc-4", 7.2, 12) == 0, "new work at a listed leaver")
expect(count_runs("stoc-9", 6.2, 12) == 0, "new work at a draining instance")
expect(count_runs("archeb-2", 6.2, 12) == 0, "new work at a draining instance")
