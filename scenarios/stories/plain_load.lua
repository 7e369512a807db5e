-- Nothing fails. Campers look up stock, book, fetch maps; members reconcile.
-- Every request has to be answered, by its own answer, and run once.
start{}
load{seconds = 6, rates = {stoc = 400, archeb = 100, pecyn = 60, cysoni = 80}}
wait_load()
check{nothing_cut = true}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) == 0, service .. " was unavailable")
end
