-- A bad request is answered with one JSON error that names the field, and
-- starts no task.
start_cluster(1)
local url = entries[1].url .. "/v1/services/" .. SERVICE .. "/jobs/"
local many = {}
for i = 1, 201 do
	many[i] = '{"kind":"tension-check"}'
end
local ok = '{"tasks":[{"kind":"tension-check","payload":{"run_ms":20}}]}'
local cases = {
	{ "bad id", url .. "a%20b", ok, 400, "id" },
	{ "broken JSON", url .. "zona-rosario~1", "{", 400, "/" },
	{ "no tasks", url .. "zona-rosario~2", "{}", 400, "/tasks" },
	{ "201 tasks", url .. "zona-rosario~3", '{"tasks":[' .. table.concat(many, ",") .. "]}", 413, "/tasks" },
	{ "unknown kind", url .. "zona-rosario~4", '{"tasks":[{"kind":"tension-check"},{"kind":"x"}]}', 422, "/tasks/1/kind" },
	{ "unknown service", entries[1].url .. "/v1/services/other/jobs/zona-rosario~5", ok, 404, "service" },
	{ "over 1 MB", url .. "zona-rosario~6", '{"x":"' .. string.rep("y", 1100000) .. '"}', 413, "/" },
	{ "wrong key", url .. "zona-rosario~7", ok, 401, "Authorization", "key-nobody" },
	{ "valid job", url .. "zona-rosario~8", ok, 200 },
	{ "the same job again", url .. "zona-rosario~8", ok, 200 },
	{ "the same id with another body", url .. "zona-rosario~8", '{"tasks":[{"kind":"grommet-swap"}]}', 409, "id" },
}
for _, c in ipairs(cases) do
	local status, text = http("POST", c[2], c[3], c[6] or KEY)
	expect(status == c[4], c[1] .. " gets " .. c[4] .. ", not " .. status .. " " .. text:sub(1, 100))
	if c[5] then
		expect(text:find('"field":"' .. c[5] .. '"', 1, true), c[1] .. " names " .. c[5])
	end
end
-- A job sent longer ago than the retention period (20 s) is not accepted as
-- new: an earlier job with its id may have been evicted.
for ago, expected in pairs({ [19000] = "200", [20000] = "410" }) do
	local pipe = io.popen("curl -s -o /dev/null -w '%{http_code}' --noproxy '*' -H 'Authorization: Bearer " ..
		KEY .. "' -H 'Sent-Ago-Ms: " .. ago .. "' -d '" .. ok .. "' " .. url .. "zona-rosario~old" .. ago)
	expect(pipe:read("a") == expected, "an id sent " .. ago .. " ms ago gets " .. expected)
	pipe:close()
end

local _, counts = http("GET", "http://127.0.0.90:" .. (BASE + 50) .. "/standin/counts")
expect(tonumber(counts:match('"starts": ?(%d+)')) == 2, "only the valid jobs started tasks")

-- Bytes that are no message between instances close the connection and are
-- counted.
local peer_port = "http://" .. entries[1].ip .. ":" .. (BASE + 2)
expect(http("POST", peer_port, "not a frame") == 0, "the connection is closed")
await(function()
	return state(1):find('"peer_bad_frames":1', 1, true)
end, 2000, "the bad frame is counted")
