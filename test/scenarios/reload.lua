-- SIGHUP requests a reload and must never end the process.
start_cluster(1)
for n in pairs(entries) do
	signal(entries[n].name, "HUP")
end
sleep(500)
replay("load", { jobs = 20, tasks = 4, every_ms = 30, via = { 1, 2 } })
local r = report("load")
expect_no_loss(r)
expect(r.complete == 20, "every job completes after the reload")
