-- What the scenarios of peridothall-dispatch share: a stand-in fleet, entry
-- instances in two failure domains, and checks of the promises.

FLEET_IP = "127.0.0.99"
DPORT = BASE + 100
FLEET = "http://" .. FLEET_IP .. ":" .. DPORT
COUNT = 8

dispatchers = {}

function fleet_mode(json)
	expect(http("POST", FLEET .. "/standin/mode", json) == 200, "mode " .. json)
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

local function jobs_at(n)
	return "127.0.0." .. n .. ":" .. (DPORT + 40)
end

-- Starts instance n; peers reach it through the relay.
function start_dispatcher(n)
	local d = dispatchers[n]
	local ip = "127.0.0." .. n
	local peers = DPORT + 42
	local seeds = {}
	for m in pairs(dispatchers) do
		seeds[#seeds + 1] = "127.0.1." .. m .. ":" .. peers
	end
	link(d.name, "127.0.1." .. n, peers, ip, peers)
	spawn(d.name, BUILD .. "/peridothall-dispatch", "--name", d.name,
		"--domain", d.domain, "--address", ip, "--peers-at", ip .. ":" .. peers,
		"--advertise", "127.0.1." .. n .. ":" .. peers, "--jobs-at", jobs_at(n),
		"--ready-at", ip .. ":" .. (DPORT + 41), "--metrics-port", DPORT + 43,
		"--seeds", table.concat(seeds, ","), "--store", "127.0.1.99:" .. DPORT,
		"--cpu-share", "0.25")
	d.up = true
end

function ready(n)
	return http("GET", "http://127.0.0." .. n .. ":" .. (DPORT + 41) .. "/ready") == 200
end

function await_ready(n, ms)
	await(function() return ready(n) end, ms or 10000, dispatchers[n].name .. " is ready")
end

-- Domains north and south, with that many instances each; jobs flow.
function start_dispatch(north, south, every_ms)
	local entries = {}
	for n = 1, north + south do
		dispatchers[n] = { name = "dispatch" .. n, n = n,
			domain = n <= north and "north" or "south" }
		entries[#entries + 1] = jobs_at(n)
	end
	spawn("fleet", BUILD .. "/standin-fleet", "--address", FLEET_IP, "--port", DPORT,
		"--count", COUNT, "--entries", table.concat(entries, ","), "--every-ms",
		every_ms or 40)
	link("store", "127.0.1.99", DPORT, FLEET_IP, DPORT)
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

function stop_dispatcher(n, sig)
	local d = dispatchers[n]
	if not d.up then
		return
	end
	signal(d.name, sig)
	local status = wait(d.name, 9000)
	unlink(d.name)
	sleep(50) -- the relay lets go of the listener in its next turn
	d.up = false
	return status
end

-- Stops the jobs and checks the promises; served: least share of the jobs.
function check_promises(served)
	fleet_mode('{"sending":false}')
	await(function() return fleet_report().open == 0 end, 25000, "every caller is answered")
	local r, text = fleet_report()
	print("  " .. text)
	expect(r.twice == 0, "no task runs twice at once")
	expect(r.untrue == 0, "a refusal that says not run is true")
	expect(r.wrong == 0, "every answer is whole")
	expect(r.jobs > 0 and r.done >= served * r.jobs,
		"at least " .. served .. " of the jobs are served")
end
