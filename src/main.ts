/** Entry point of the `endivewell` binary. */
import "./lib/cli/ignoreEarlySighup.js";
// Takes effect only before oclif is loaded.
import "./lib/cli/disableEngineCheck.js";
import { run } from "./lib/cli/index.js";

run(process.argv.slice(2)).then(code => process.exit(code));
