-- A host dies while bookings wait at stewards. A repeat that finds its key's
-- owner gone is not told "not run" of a booking that then runs.
start{}
load{seconds = 8, rates = {stoc = 100, archeb = 1200, pecyn = 10, cysoni = 10}}
sleep(3)
local all = hosts()
local victim = all[random(#all)]
kill(victim)
endpoint{service = "kumquatd", id = victim, state = "gone"}
wait_load()
check{}
