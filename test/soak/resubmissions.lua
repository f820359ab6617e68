-- A randomized soak of jobs that arrive twice. Callers wait for 1.5 s and send a
-- job again 1.3 s later, to another instance; a part of the tasks lasts for longer
-- than that, so that callers leave running jobs all the time. Instances are short
-- of processor time, stand still or are killed, and answers of executors get lost.
-- No task may run twice at the same time.
-- SEED seeds the set-up and the choice of faults, SECS is how long faults are
-- injected. INSTANCES, EXECUTORS, EVERY_MS and KIND override what the seed chooses.
dofile("test/scenarios/lib_dispatch.lua")

local seed = tonumber(os.getenv("SEED") or "1")
local secs = tonumber(os.getenv("SECS") or "20")
math.randomseed(seed)

-- Gives a setting's value in the environment, or the one that was drawn.
local function setting(name, drawn)
	return tonumber(os.getenv(name) or "") or drawn
end

local domains = { "north", "south", "west" }
local per_domain = setting("INSTANCES", 3 * math.random(1, 3)) // 3
local executors = setting("EXECUTORS", 3 * math.random(6, 16))
local every_ms = setting("EVERY_MS", math.random(12, 30))
local PERIOD_MS = 100

-- Share of a processor that each instance has, in milliseconds of each period; 0:
-- all of it.
local share = {}

local function set_share(n, ms)
	share[n] = ms
	throttle(dispatchers[n].name, ms, ms > 0 and PERIOD_MS or 0)
end

local frozen = {}

local function freeze(n, ms)
	if frozen[n] or not dispatchers[n].up then return end
	throttle(dispatchers[n].name, 0, PERIOD_MS)
	frozen[n] = now() + ms
end

local function thaw(all)
	for n, at in pairs(frozen) do
		if all or now() >= at then
			frozen[n] = nil
			set_share(n, share[n])
		end
	end
end

local function random_instance()
	return math.random(1, #dispatchers)
end

local function kill_and_restart(n)
	if frozen[n] then return end
	stop_dispatcher(n, "KILL")
	start_dispatcher(n)
	set_share(n, share[n])
end

-- Gives each instance one of these shares.
local function draw_shares(choices)
	for n in pairs(dispatchers) do
		set_share(n, choices[math.random(1, #choices)])
	end
end

-- Each kind of run: how it begins, and what it does again and again.
local kinds = {
	{ name = "little processor time", begin = function()
		draw_shares({ 12, 25, 50 })
	end },
	{ name = "changing shares of a processor", step = function()
		set_share(random_instance(), ({ 0, 8, 12, 25, 50 })[math.random(1, 5)])
	end },
	{ name = "short freezes", step = function()
		freeze(random_instance(), math.random(100, 700))
	end },
	{ name = "long freezes", step = function()
		freeze(random_instance(), math.random(700, 4000))
	end },
	{ name = "little processor time and freezes", begin = function()
		draw_shares({ 12, 25, 50 })
	end, step = function()
		freeze(random_instance(), math.random(100, 4000))
	end },
	{ name = "little processor time and lost answers", begin = function()
		draw_shares({ 12, 25, 50 })
		fleet_mode('{"lost_answer_interval":25}')
	end },
	{ name = "kills and little processor time", begin = function()
		draw_shares({ 0, 25, 50 })
	end, step = function()
		kill_and_restart(random_instance())
	end },
	{ name = "freezes, kills and lost answers", begin = function()
		fleet_mode('{"lost_answer_interval":25}')
	end, step = function()
		local n = random_instance()
		if math.random() < 0.5 then
			kill_and_restart(n)
		else
			freeze(n, math.random(100, 4000))
		end
	end },
}

local kind = kinds[setting("KIND", (seed - 1) % #kinds + 1)]
local list = {}
for _, name in ipairs(domains) do
	list[#list + 1] = { name, per_domain }
end
print(string.format("seed %d, %s: %d instances, %d executors, a job each %d ms", seed,
	kind.name, 3 * per_domain, executors, every_ms))
start_dispatch_in({ domains = list, executors = executors, every_ms = every_ms,
	fleet = { "--deadline-ms", 1500, "--short-ms", 300, "--long-ms", 2600,
		"--long-interval", 3 } })
for n in pairs(dispatchers) do
	share[n] = 0
end
if kind.begin then kind.begin() end
local until_ms = now() + secs * 1000
local next_step_ms = now()
while now() < until_ms do
	if kind.step and now() >= next_step_ms then
		kind.step()
		next_step_ms = now() + math.random(200, 2500)
	end
	thaw(false)
	sleep(20)
end
thaw(true)
fleet_mode('{"lost_answer_interval":0}')
for n in pairs(dispatchers) do
	set_share(n, 0)
end
sleep(500)
check_guarantees(0)
