-- Every owner is killed, one after another, under load.
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
check_promises(0.8)
