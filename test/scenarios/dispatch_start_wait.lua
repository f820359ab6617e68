-- The store answers late when an instance starts. A request that arrives before
-- the configuration waits for it and is then routed (404: no such queue), instead
-- of being refused with 503.
dofile("test/scenarios/lib_dispatch.lua")
start_dispatch(1, 0)
planned_stop(1)
delay("store", 100)
start_dispatcher(1)
local status
await(function()
	status = http("GET", "http://127.0.0.1:" .. (DISPATCH_BASE + 40) .. "/q/")
	return status ~= 0
end, 5000, "the port is open")
expect(status == 404, "the first request is routed, status " .. status)
await_ready(1)
check_guarantees(0.3)
