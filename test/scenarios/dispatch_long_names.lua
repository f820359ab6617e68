-- The platform gives long names to everything: zones, instances, a service, its
-- host, prefix and label, and executors. Jobs are served, and start only where the
-- whole label is. One of the instances is killed on the way.
dofile("test/scenarios/lib_dispatch.lua")
local bytes = tonumber(os.getenv("NAME_BYTES") or 200)
local function long(text)
	return string.rep("x", bytes - #text) .. text
end
start_dispatch_in({ domains = { { long("north"), 2 }, { long("south"), 2 } },
	executors = 2 * EXECUTOR_COUNT, every_ms = 40, node = long("edge-"),
	fleet = { "--name-bytes", bytes } })
sleep(2000)
stop_dispatcher(1, "KILL")
sleep(500)
start_dispatcher(1)
await_ready(1)
sleep(2000)
check_guarantees(0.9)
