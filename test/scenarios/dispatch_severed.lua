-- The open connections between all instances go silent for good, in both
-- directions, and later those to the store and the executors too; new connections
-- work. Jobs are served again soon after that.
dofile("test/scenarios/lib_dispatch.lua")

-- Share of the jobs sent in that time that are done.
local function served_in(ms)
	local before = fleet_report()
	sleep(ms)
	local after = fleet_report()
	return (after.done - before.done) / (after.jobs - before.jobs)
end

start_dispatch_in({ domains = { { "north", 2 }, { "south", 2 } },
	executors = EXECUTOR_COUNT, every_ms = 40, relayed = true })
sleep(1500)
for _, kinds in ipairs({ { "instances" }, { "store" }, { "executors" },
	{ "instances", "store", "executors" } }) do
	for _, kind in ipairs(kinds) do
		sever(1, kind)
	end
	sleep(4000)
	local served = served_in(3000)
	print(string.format("  severed: %s: %.3f served", table.concat(kinds, ", "), served))
	expect(served >= 0.9, "jobs are served 4 s after all connections have gone silent")
end
check_guarantees(0.9)
