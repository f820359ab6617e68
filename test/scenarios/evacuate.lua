-- A failure domain is evacuated with the command of the program: jobs of it wait,
-- its tasks that run end, and no task starts until the evacuation is ended.
start_cluster()
local function evacuate(...)
	spawn("evacuate", BUILD .. "/peridothall", "evacuate", "--platform", PLATFORM, ...)
	expect(wait("evacuate", 5000) == 0, "the request is confirmed")
end
local function evacuated(n, yes)
	await(function()
		return state(n):find('"evacuated": ' .. (yes and "true" or "false"), 1, true)
	end, 3000, entries[n].name .. " knows of the change")
end
local function calls(n)
	return tonumber(state(n):match('"endpoint_calls": ?(%d+)'))
end
evacuate("zona-rosario")
for n = 1, 4 do
	evacuated(n, n <= 2)
end
local before = calls(1) + calls(2)
replay("waiting", { jobs = 20, tasks = 4, every_ms = 30, via = { 1, 2 }, run_ms = 100 })
replay("served", { jobs = 20, tasks = 4, every_ms = 30, via = { 3, 4 }, run_ms = 100,
	prefix = "zona-cordoba~" })
local served = report("served")
expect_no_loss(served)
expect(served.complete == 20, "the other domain serves its jobs")
expect(calls(1) + calls(2) == before, "no task starts in the evacuated domain")
evacuate("--end", "zona-rosario")
evacuated(1, false)
local r = report("waiting")
expect_no_loss(r)
expect(r.complete == 20, "jobs that waited are completed after the end")
