-- The failure domains can't reach each other while one executor carries out run
-- commands late, another restarts and a third fails all its runs.
dofile("test/scenarios/lib_dispatch.lua")
start_dispatch(2, 2)
sleep(1000)
fleet_mode('{"executor":0,"late":true}')
for _, a in ipairs({ 1, 2 }) do
	for _, b in ipairs({ 3, 4 }) do
		cut("127.0.0." .. a, dispatchers[b].name)
		cut("127.0.0." .. b, dispatchers[a].name)
	end
end
sleep(3500)
fleet_mode('{"executor":5,"reborn":true}')
heal()
sleep(2000)
fleet_mode('{"executor":0,"late":false}')
fleet_mode('{"executor":2,"fails":true}')
sleep(2000)
fleet_mode('{"executor":2,"fails":false}')
check_guarantees(0.8)
