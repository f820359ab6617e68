-- The two entry instances of a domain can't reach each other, but both reach
-- the platform: one of them has to go on serving.
start_cluster(1)
replay("load", { jobs = 120, tasks = 8, every_ms = 40, via = { 1, 2 } })
sleep(1500)
cut_entries(1, 2)
sleep(3500)
heal()
local r = report("load")
expect_no_loss(r)
expect(r.complete >= 60, "one of the two instances goes on serving")
await_members(1, 2)
await_members(2, 2)
