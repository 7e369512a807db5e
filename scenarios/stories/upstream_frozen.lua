-- An instance freezes for 6 s, past its grants, and thaws with requests in
-- hand. Its slices have other owners by then: what it still does of them must
-- not take effect.
start{}
load{seconds = 14, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(3)
local id = "stoc-" .. random(15)
upstream{id = id, ["do"] = "freeze"}
sleep(6)
upstream{id = id, ["do"] = "thaw"}
wait_load()
check{}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 4, service .. " was unavailable for 4 s")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
