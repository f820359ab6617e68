-- Functions that the scenarios of peridothall-dispatch share: they start the
-- stand-in fleet (callers, executors and store) and instances in two failure
-- domains, and check the guarantees.

FLEET_IP = "127.0.0.99"
DISPATCH_BASE = BASE + 100
FLEET = "http://" .. FLEET_IP .. ":" .. DISPATCH_BASE
-- Number of executors of the stand-in fleet.
EXECUTOR_COUNT = 8

dispatchers = {}

function fleet_mode(json)
	expect(http("POST", FLEET .. "/standin/mode", json) == 200, "fleet mode " .. json)
end

function fleet_report()
	local status, text = http("GET", FLEET .. "/standin/report")
	expect(status == 200, "the fleet reports")
	local r = {}
	for key, value in text:gmatch('"([%w_]+)":(%d+)') do
		r[key] = tonumber(value)
	end
	return r, text
end

-- Whether connections to executors and of callers pass the relay as well.
local relayed = false

local function jobs_at(n)
	return (relayed and "127.0.1." or "127.0.0.") .. n .. ":" .. (DISPATCH_BASE + 40)
end

-- Starts instance n; its peers connect through the relay.
function start_dispatcher(n)
	local d = dispatchers[n]
	local ip = "127.0.0." .. n
	local peers = DISPATCH_BASE + 42
	local seeds = {}
	for m in pairs(dispatchers) do
		seeds[#seeds + 1] = "127.0.1." .. m .. ":" .. peers
	end
	link(d.name, "127.0.1." .. n, peers, ip, peers)
	if relayed then
		link("jobs" .. n, "127.0.1." .. n, DISPATCH_BASE + 40, ip, DISPATCH_BASE + 40)
	end
	spawn(d.name, BUILD .. "/peridothall-dispatch", "--name", d.node or d.name,
		"--domain", d.domain, "--address", ip, "--peers-at", ip .. ":" .. peers,
		"--advertise", "127.0.1." .. n .. ":" .. peers,
		"--jobs-at", ip .. ":" .. (DISPATCH_BASE + 40),
		"--ready-at", ip .. ":" .. (DISPATCH_BASE + 41), "--metrics-port", DISPATCH_BASE + 43,
		"--seeds", table.concat(seeds, ","), "--store", "127.0.1.99:" .. DISPATCH_BASE,
		"--cpu-share", "0.25")
	d.up = true
end

function ready(n)
	return http("GET", "http://127.0.0." .. n .. ":" .. (DISPATCH_BASE + 41) .. "/ready") == 200
end

function await_ready(n, ms)
	await(function() return ready(n) end, ms or 10000, dispatchers[n].name .. " is ready")
end

-- Starts instances and the fleet, which then sends a job every every_ms. Options:
-- domains, a list of { name, instances }; executors; fleet, further arguments;
-- node, what the instances' names begin with, if it isn't that of the processes;
-- relayed, whether connections to executors and of callers can be severed too.
function start_dispatch_in(options)
	local entries, names = {}, {}
	relayed = options.relayed
	for _, domain in ipairs(options.domains) do
		names[#names + 1] = domain[1]
		for _ = 1, domain[2] do
			local n = #dispatchers + 1
			dispatchers[n] = { name = "dispatch" .. n, n = n, domain = domain[1],
				node = options.node and options.node .. n }
			entries[n] = jobs_at(n)
		end
	end
	spawn("fleet", BUILD .. "/standin-fleet", "--address", FLEET_IP, "--port", DISPATCH_BASE,
		"--count", options.executors, "--domains", table.concat(names, ","),
		"--entries", table.concat(entries, ","), "--every-ms", options.every_ms,
		"--listed-at", relayed and "127.0.1.99" or FLEET_IP,
		table.unpack(options.fleet or {}))
	for x = 1, relayed and options.executors or 0 do
		link("executor" .. x, "127.0.1.99", DISPATCH_BASE + x, FLEET_IP, DISPATCH_BASE + x)
	end
	link("store", "127.0.1.99", DISPATCH_BASE, FLEET_IP, DISPATCH_BASE)
	sleep(300)
	for n in pairs(dispatchers) do
		start_dispatcher(n)
	end
	for n in pairs(dispatchers) do
		await_ready(n)
	end
	sleep(1500)
	fleet_mode('{"sending":true}')
end

-- Starts that many instances in the failure domains north and south.
function start_dispatch(north, south, every_ms)
	start_dispatch_in({ domains = { { "north", north }, { "south", south } },
		executors = EXECUTOR_COUNT, every_ms = every_ms or 40 })
end

-- A share of the open connections goes silent for good, in both directions, while
-- new ones work: those between all instances, or the ones to a kind of others:
-- "store", "executors" or "callers".
function sever(share, kind)
	if kind == "store" then
		silence("store", share)
	elseif kind == "executors" then
		for x = 1, EXECUTOR_COUNT do
			silence("executor" .. x, share)
		end
	else
		for n, d in pairs(dispatchers) do
			silence(kind == "callers" and "jobs" .. n or d.name, share)
		end
	end
end

-- Signals an instance and returns its exit status; nil if it was not running.
function stop_dispatcher(n, sig)
	local d = dispatchers[n]
	if not d.up then
		return
	end
	signal(d.name, sig)
	local status = wait(d.name, 9000)
	unlink(d.name)
	if relayed then
		unlink("jobs" .. n)
	end
	sleep(50) -- the relay polls the closed listener for up to 20 ms more
	d.up = false
	return status
end

-- Stops a dispatcher as planned and expects that it exits with 0.
function planned_stop(n)
	local status = stop_dispatcher(n, "TERM")
	expect(status == 0, "planned stop, exit status " ..
		(status or "none, still running"))
end

-- Stops the jobs and checks the guarantees; served is the least share of the
-- jobs that must be done.
function check_guarantees(served)
	fleet_mode('{"sending":false}')
	await(function() return fleet_report().open == 0 end, 25000, "every caller is answered")
	local r, text = fleet_report()
	print("  " .. text)
	expect(r.twice == 0, "no task runs twice at the same time")
	expect(r.untrue == 0, "no job that was reported as not run has started")
	expect(r.wrong == 0, "every answer is complete")
	expect(r.evacuated_starts == 0, "no task starts in an evacuated domain")
	expect(r.misplaced == 0, "no task starts on an executor without the required label")
	expect(r.jobs > 0 and r.done >= served * r.jobs,
		"at least " .. served .. " of the jobs are served")
end
