-- Upstreams answer with another request's answer, or break off half-way. No
-- caller may take either for its own whole answer.
start{}
upstream{["do"] = "cross", probability = 0.05}
upstream{["do"] = "truncate", probability = 0.05}
load{seconds = 8, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
wait_load()
check{}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 1, service .. " was unavailable")
end
