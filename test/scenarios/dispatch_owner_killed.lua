-- Each instance, an owner of pools, is killed under load, one after another.
dofile("test/scenarios/lib_dispatch.lua")
start_dispatch(2, 2)
sleep(1500)
for n = 1, 4 do
	stop_dispatcher(n, "KILL")
	sleep(1200)
	start_dispatcher(n)
	await_ready(n)
	sleep(1000)
end
check_guarantees(0.8)
