-- A failure domain that is cut from the platform and from the other domain
-- still serves the jobs of its own ids without loss.
start_cluster()
for _, a in ipairs({ 1, 2 }) do
	cut_platform(a)
	for _, b in ipairs({ 3, 4 }) do
		cut_entries(a, b)
	end
end
sleep(3000)
replay("load", { jobs = 60, tasks = 4, every_ms = 30, via = { 1, 2 } })
replay("other", { jobs = 60, tasks = 4, every_ms = 30, via = { 3, 4 }, prefix = "zona-cordoba~" })
local r = report("load")
local o = report("other")
expect_no_loss(r)
expect_no_loss(o)
expect(r.complete == 60, "the cut domain completes all its own jobs")
expect(o.complete == 60, "the other domain completes all its own jobs")
heal()
