-- Instances are suspended until their leases have expired and resumed, while
-- the store is down.
dofile("test/scenarios/lib_dispatch.lua")
start_dispatch(2, 2)
sleep(1000)
fleet_mode('{"store_down":true}')
for n = 1, 4 do
	signal(dispatchers[n].name, "STOP")
	sleep(1800)
	signal(dispatchers[n].name, "CONT")
	sleep(1200)
end
fleet_mode('{"store_down":false}')
check_guarantees(0.8)
