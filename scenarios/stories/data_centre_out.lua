-- Operators take a data centre out under load and bring it back. Out, its
-- upstreams get no new work after 3 s; back in, they get work again.
start{}
load{seconds = 18, rates = {stoc = 300, archeb = 80, pecyn = 40, cysoni = 40}}
sleep(3)
place("abertawe", true)
sleep(6)
place("abertawe", false)
wait_load()
check{nothing_cut = true}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) < 4, service .. " was unavailable for 4 s")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
expect(count_runs("abertawe", 0, 3) > 0, "no work there before")
expect(count_runs("abertawe", 6.2, 8.9) == 0, "new work where it is out")
expect(count_runs("abertawe", 14, 18) > 0, "no work after its return")
