/** A valid platform settings file of an entry, which tests modify. */
export const SETTINGS_FILE = `
node = "front-a-1"
ip = "10.1.0.40"
zone = "a"
region = "r"
internal-ports = [7700,7715]
seeds = ["10.1.0.41:8000"]
unknown-field = 1
[zones]
a = "r"
[listen]
front = "10.1.0.40:8005"
ready = "10.1.0.40:8002"
[limits]
link-mbps = 1000.0
[bounds]
drain-ms = 2000
grace-s = 8
stability-window-ms = 3000
config-apply-ms = 2000
retry-budget-ratio = 0.2
retry-budget-slack = 100
budget-window-s = 10
version_ms = 8000
[platform]
address = "10.200.1.7:8007"
`;
