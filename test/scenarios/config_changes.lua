-- All entry instances apply a burst of configuration changes within 3 s, also
-- one that can't reach the platform, and never go back to an older version.
start_cluster()
local file = io.open("examples/config.json")
local text = file:read("a")
file:close()
local function write(version)
	local _, body = http("GET", PLATFORM .. "/v1/kv/peridothall/config")
	local index = body:match('"ModifyIndex": ?(%d+)')
	local doc = text:gsub('"version": 1', '"version": ' .. version)
	local _, ok = http("PUT", PLATFORM .. "/v1/kv/peridothall/config?cas=" .. index, doc)
	expect(ok == "true", "version " .. version .. " is written")
end
local function all_applied(version)
	for n in pairs(entries) do
		if not state(n):find('"config_version": ' .. version .. ",", 1, true) then
			return false
		end
	end
	return true
end
local function measure(version, what)
	local begin = now()
	await(function() return all_applied(version) end, 3000, what)
	print("  " .. what .. ": " .. (now() - begin) .. " ms after the last write")
end
for version = 2, 31 do
	write(version)
	sleep(100)
end
measure(31, "all instances apply a burst of 30 changes")
cut_platform(1)
write(32)
measure(32, "all apply a change while one is cut from the platform")
heal()
write(7)
sleep(1500)
expect(all_applied(32), "no instance applies an older version")
