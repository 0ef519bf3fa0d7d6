/** Entry point of the `endivewell` program. */
import "./lib/cli/ignoreEarlySighup.js";
// Must be imported before oclif is loaded; it has no effect later.
import "./lib/cli/disableEngineCheck.js";
import { run } from "./lib/cli/index.js";

run(process.argv.slice(2)).then(code => process.exit(code));
