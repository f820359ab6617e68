-- The instances of a domain with more than 48 executors agree on its number of
-- shards: at a start of all, when an operator changes it, when the response to a
-- write is lost, and for an instance that starts while the store is down.
-- Guards against pools of two numbers, whose owners refuse each other's tokens.
dofile("test/scenarios/lib_dispatch.lua")
local INSTANCES = 3

local function shards(n)
	local _, text = http("GET", "http://127.0.0." .. n .. ":" .. (DISPATCH_BASE + 43) .. "/metrics")
	return tonumber((text or ""):match('peridothall_shards{domain="north"} (%d+)'))
end

local function await_shards(count, ms, what)
	await(function()
		for n = 1, INSTANCES do
			if shards(n) ~= count then
				return false
			end
		end
		return true
	end, ms, what .. ": all have " .. count .. " shards")
end

-- Writes the key as an operator does; value is in base64.
local function write_key(value)
	expect(http("POST", FLEET .. "/kv-txn", '{"expectedRev":[],"remove":[],"puts":[' ..
		'{"key":"peridothall/shards/north","value":"' .. value .. '"}]}') == 200, "key written")
end

start_dispatch_in({ domains = { { "north", INSTANCES } }, executors = 60, every_ms = 40,
	fleet = { "--deadline-ms", "8000" } })
await_shards(2, 1000, "start of all")

write_key("Mw==")
await_shards(3, 7000, "the operator writes 3")

fleet_mode('{"store_down":true}')
planned_stop(3)
start_dispatcher(3)
await(function() return shards(3) == 3 end, 1000, "an instance starts without the store")
fleet_mode('{"store_down":false}')

write_key("eA==")
sleep(5500)
await_shards(3, 100, "a value that is no number")

fleet_mode('{"loses_shards":true}')
write_key("MQ==")
await_shards(2, 9000, "growth by a write whose response is lost")
check_guarantees(0.95)
