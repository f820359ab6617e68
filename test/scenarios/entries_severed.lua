-- The open connections between the two entry instances of a domain go silent for
-- good, in both directions, while new ones work: both stay members and go on
-- serving.
start_cluster(1)
replay("load", { jobs = 160, tasks = 4, every_ms = 40, via = { 1, 2 } })
for _ = 1, 2 do
	sleep(1500)
	silence(entries[1].name)
	silence(entries[2].name)
end
sleep(2000)
local r = report("load")
expect_no_loss(r)
expect(r.complete >= 144, "nine of ten jobs are served")
await_members(1, 2)
await_members(2, 2)
