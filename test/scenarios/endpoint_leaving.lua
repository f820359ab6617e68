-- An endpoint that is registered as leaving gets no new tasks after 2 s.
start_cluster(1)
replay("load", { jobs = 200, tasks = 4, every_ms = 40, via = { 1, 2 } })
sleep(1500)
local port = BASE + 50
local status = http("PUT", PLATFORM .. "/v1/agent/service/register",
	string.format('{"Name":"%s","ID":"zona-rosario-%d","Address":"127.0.0.90","Port":%d,"Meta":{"slots":"8","domain":"zona-rosario","state":"leaving"}}',
		SERVICE, port, port))
expect(status == 200, "the endpoint is registered as leaving")
sleep(2000)
local function starts()
	local _, text = http("GET", "http://127.0.0.90:" .. port .. "/standin/counts")
	return tonumber(text:match('"port": ?' .. port .. ', ?"starts": ?(%d+)'))
end
local before = starts()
local r = report("load")
expect(before > 0, "the endpoint ran tasks before")
expect(starts() == before, "the leaving endpoint gets no new tasks")
expect_no_loss(r)
expect(r.complete == 200, "every job completes")
