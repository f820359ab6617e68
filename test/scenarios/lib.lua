-- Functions that the scenarios share: they start the stand-in platform, endpoints
-- and entry instances, cut links, and replay jobs and check the outcome.

-- First port; each SLOT has 200 ports, so that runs can share a machine.
BASE = 20000 + (tonumber(os.getenv("SLOT") or "0")) * 200
SERVICE = "mostrador-comun"
KEY = "key-club-norte"
PLATFORM_IP = "127.0.0.99"
PLATFORM_RELAY = "http://127.0.1.99:" .. BASE
PLATFORM = "http://" .. PLATFORM_IP .. ":" .. BASE

entries = {}

function expect(condition, what)
	if not condition then
		error("expected: " .. what, 2)
	end
end

function start_platform()
	spawn("platform", BUILD .. "/standin-platform", "--address", PLATFORM_IP,
		"--port", BASE)
	link("platform", "127.0.1.99", BASE, PLATFORM_IP, BASE)
	sleep(200)
	local file = io.open("examples/config.json")
	local text = file:read("a")
	file:close()
	local status, body = http("PUT", PLATFORM .. "/v1/kv/peridothall/config?cas=0", text)
	expect(status == 200 and body == "true", "the configuration is written")
end

function platform_mode(json)
	expect(http("POST", PLATFORM .. "/standin/mode", json) == 200, "platform mode " .. json)
end

function start_endpoints(name, domain, port, count)
	spawn(name, BUILD .. "/standin-endpoint", "--address", "127.0.0.90",
		"--port", BASE + port, "--count", count, "--domain", domain,
		"--platform", PLATFORM)
end

-- Starts entry instance n of a domain; its peers connect through the relay.
function start_entry(n, domain)
	local ip = "127.0.0." .. n
	local e = { name = "entry" .. n, ip = ip, n = n, domain = domain,
		url = "http://" .. ip .. ":" .. (BASE + 1) }
	entries[n] = e
	link(e.name, "127.0.1." .. n, BASE + 2, ip, BASE + 2)
	local seeds = {}
	for m = 1, 8 do
		seeds[#seeds + 1] = "127.0.1." .. m .. ":" .. (BASE + 2)
	end
	spawn(e.name, BUILD .. "/peridothall-entry", "--name", e.name,
		"--domain", domain, "--address", ip, "--http-port", BASE + 1,
		"--peer-port", BASE + 2, "--advertise",
		"127.0.1." .. n .. ":" .. (BASE + 2), "--platform", PLATFORM_RELAY,
		"--seeds", table.concat(seeds, ","), "--remember-ms", "20000")
	return e
end

function kill_entry(n)
	signal(entries[n].name, "KILL")
	wait(entries[n].name, 2000)
	unlink(entries[n].name)
end

function cut_entries(a, b)
	cut("127.0.0." .. a, entries[b].name)
	cut("127.0.0." .. b, entries[a].name)
end

function cut_platform(a)
	cut("127.0.0." .. a, "platform")
end

function state(n)
	local _, text = http("GET", entries[n].url .. "/v1/state")
	return text
end

-- Polls a condition every 100 ms until it holds; fails after ms.
function await(condition, ms, what)
	local until_ms = now() + ms
	while not condition() do
		expect(now() < until_ms, what)
		sleep(100)
	end
end

function members(n)
	local roster = state(n):match('"members": (%b[])') or ""
	local _, count = roster:gsub('"name"', "")
	return count
end

function await_members(n, count, ms)
	await(function()
		return members(n) == count and state(n):find('"active": true', 1, true)
	end, ms or 15000, entries[n].name .. " sees " .. count .. " members")
end

-- Starts two failure domains, or only the first, of two entry instances each.
function start_cluster(domains)
	start_platform()
	start_endpoints("endpoints-rosario", "zona-rosario", 50, 4)
	start_entry(1, "zona-rosario")
	start_entry(2, "zona-rosario")
	if domains ~= 1 then
		start_endpoints("endpoints-cordoba", "zona-cordoba", 70, 4)
		start_entry(3, "zona-cordoba")
		start_entry(4, "zona-cordoba")
	end
	for n in pairs(entries) do
		await_members(n, 2)
		await(function()
			return http("GET", entries[n].url .. "/readyz") == 200
		end, 5000, entries[n].name .. " is ready")
	end
	sleep(500)
end

-- Writes a file of jobs and replays it in the background; via lists the entry
-- instances that get them.
function replay(name, options)
	local path = LOGS .. "/" .. name .. ".jsonl"
	local file = io.open(path, "w")
	for i = 0, options.jobs - 1 do
		local tasks = {}
		for t = 1, options.tasks do
			tasks[t] = '{"kind":"restring-order","payload":{"run_ms":' ..
				(options.run_ms or 100) .. "}}"
		end
		file:write(string.format(
			'{"at_ms":%d,"team":"club-norte","service":"%s","id":"%s%s-%d","deadline_ms":%d,"tasks":[%s]}\n',
			i * options.every_ms, SERVICE, options.prefix or "zona-rosario~",
			name, i, options.deadline_ms or 8000, table.concat(tasks, ",")))
	end
	file:close()
	local urls = {}
	for _, n in ipairs(options.via) do
		urls[#urls + 1] = entries[n].url
	end
	spawn(name, BUILD .. "/peridothall", "replay", path, "--keys",
		"examples/keys.json", "--entries", table.concat(urls, ","),
		"--attempt-ms", options.attempt_ms or 12000, "--json", "--quiet",
		"--give-up-ms", options.give_up_ms or 15000)
end

-- Waits for the end of a replay and returns its report as a table of numbers.
function report(name, ms)
	local status = wait(name, ms or 40000)
	expect(status, "replay " .. name .. " ends")
	local file = io.open(LOGS .. "/" .. name .. ".log")
	local text = file:read("a")
	file:close()
	local r = { status = status }
	for key, value in text:gmatch('"([%w_]+)":([%d%.]+)') do
		r[key] = tonumber(value)
	end
	print("  " .. text:gsub("%s+$", ""))
	return r
end

-- Number of repeated task starts that the stand-in endpoints counted.
function repeated_starts()
	local sum = 0
	for _, port in ipairs({ 50, 70 }) do
		local status, text = http("GET", "http://127.0.0.90:" ..
			(BASE + port) .. "/standin/counts")
		if status == 200 then
			sum = sum + tonumber(text:match('"doubled": ?(%d+)'))
		end
	end
	return sum
end

-- Checks that no job was lost or rejected, that no answer is partial or belongs
-- to another job, and that no task was started twice.
function expect_no_loss(r)
	expect(r.lost == 0, "no job is lost")
	expect(r.wrong == 0, "no answer is partial or belongs to another job")
	expect(r.rejected == 0, "no job is rejected")
	expect(repeated_starts() == 0, "no task is started twice")
end
