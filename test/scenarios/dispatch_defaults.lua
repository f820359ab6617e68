-- An instance with the required settings only starts, reports that it is not
-- ready and refuses jobs while it has no configuration. With a bad setting it
-- exits with status 2.
local port = BASE + 160
spawn("alone", BUILD .. "/peridothall-dispatch", "--name", "alone", "--domain", "north",
	"--peers-at", "127.0.0.1:" .. port, "--jobs-at", "127.0.0.1:" .. (port + 1),
	"--ready-at", "127.0.0.1:" .. (port + 2), "--metrics-port", port + 3,
	"--store", "127.0.0.1:" .. (port + 4))
sleep(500)
expect(http("GET", "http://127.0.0.1:" .. (port + 2) .. "/ready") == 503, "not ready")
expect(http("POST", "http://127.0.0.1:" .. (port + 1) .. "/q/0123456789abcdef", "{}") == 503,
	"no job is accepted")
local status, text = http("GET", "http://127.0.0.1:" .. (port + 3) .. "/metrics")
expect(status == 200 and text:find("peridothall_ready 0", 1, true), "metrics are served")
signal("alone", "TERM")
expect(wait("alone", 9000) == 0, "it exits with 0 on SIGTERM")
for name, flags in pairs({
	port = { "--peers-at", "127.0.0.1" },
	share = { "--cpu-share", "none" },
	heartbeat = { "--heartbeat-ms", "300" },
	drain = { "--drain-ms", "soon" },
	hold = { "--hold-max-ms", "0" },
}) do
	spawn("bad-" .. name, BUILD .. "/peridothall-dispatch", "--name", "bad", "--domain",
		"north", "--store", "127.0.0.1:1", flags[1], flags[2])
	expect(wait("bad-" .. name, 3000) == 2, "bad " .. name .. " setting: exits with 2")
end
