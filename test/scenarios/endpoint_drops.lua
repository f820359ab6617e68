-- An endpoint closes connections after it has started a task: the task is
-- reported as may-have-run and not sent again.
start_cluster(1)
replay("load", { jobs = 100, tasks = 4, every_ms = 40, via = { 1, 2 } })
sleep(1200)
local port = BASE + 50
expect(http("POST", "http://127.0.0.90:" .. port .. "/standin/mode",
	'{"mode":"drop"}') == 200, "the endpoint drops connections")
sleep(800)
http("POST", "http://127.0.0.90:" .. port .. "/standin/mode", '{"mode":"ok"}')
local r = report("load")
expect_no_loss(r)
expect(r.failed > 0, "dropped tasks are reported")
expect(r.complete + r.failed == 100, "every job ends")
