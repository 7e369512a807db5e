-- Every host is replaced in turn, by SIGTERM under load. Each hands over what
-- it holds and ends by itself; no request is cut or lost.
start{}
local all = hosts()
load{seconds = 3 * #all, rates = {stoc = 300, archeb = 80, pecyn = 40,
                                  cysoni = 40}}
sleep(1)
for _, host in ipairs(all) do
  expect(stop(host, 35) == 0, host .. " did not end by itself")
  start_host(host)
  sleep(1)
end
wait_load()
check{nothing_cut = true}
for _, service in ipairs{"stoc", "archeb", "pecyn", "cysoni"} do
  expect(unavailable(service) == 0, service .. " was unavailable")
end
expect(worst_gap("stoc") < 4, "a key was not served for 4 s")
