-- An entry instance is suspended until it has been removed from the roster, and
-- resumed: it must start no task that its backup has taken over.
start_cluster(1)
replay("load", { jobs = 120, tasks = 12, every_ms = 40, via = { 1, 2 } })
sleep(1500)
signal("entry1", "STOP")
sleep(3500)
signal("entry1", "CONT")
local r = report("load")
expect_no_loss(r)
expect(r.complete >= 60, "the backup serves while the primary is suspended")
await_members(2, 2)
