-- A program with an unknown flag or a bad setting exits at once with status 2
-- and names the flag.
local entry = BUILD .. "/peridothall-entry"
local cases = {
	{ entry, "--name", "a", "--domain", "b", "--platform", "x", "--bogus", "1", flag = "bogus" },
	{ entry, "--domain", "b", "--platform", "x", flag = "--name is required" },
	{ entry, "--name", "Not A Name", "--domain", "b", "--platform", "x", flag = "--name is not a name" },
	{ entry, "--name", "a", "--domain", "b", "--platform", "x", "--http-port", "70000", flag = "--http-port" },
	{ entry, "--name", "a", "--domain", "b", "--platform", "x", "--address", "localhost", flag = "--address" },
	{ entry, "--name", "a", "--domain", "b", "--platform", "x", "--ping-every-ms", "900", flag = "--ping-every-ms" },
	{ BUILD .. "/peridothall", "replay", "--entries", "x", flag = "--keys is required" },
	{ BUILD .. "/peridothall", "nonsense", flag = "nonsense" },
}
for i, case in ipairs(cases) do
	local name = "settings" .. i
	spawn(name, table.unpack(case))
	expect(wait(name, 5000) == 2, "case " .. i .. " exits with 2")
	local file = io.open(LOGS .. "/" .. name .. ".log")
	local text = file:read("a")
	file:close()
	expect(text:find(case.flag, 1, true), "case " .. i .. " names " .. case.flag .. ", not " .. text)
end
