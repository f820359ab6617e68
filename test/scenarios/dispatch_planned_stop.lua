-- A planned stop of each instance interrupts no job, and SIGHUP (reload) ends
-- no process.
dofile("test/scenarios/lib_dispatch.lua")
start_dispatch(2, 2)
for n = 1, 4 do
	signal(dispatchers[n].name, "HUP")
end
sleep(1000)
for n = 1, 4 do
	expect(stop_dispatcher(n, "TERM") == 0, "the stopped instance exits with 0")
	start_dispatcher(n)
	await_ready(n)
end
local r = fleet_report()
check_guarantees(0.9)
