/** Entry point of the `endivewell` binary. */
import { run } from "./lib/cli/index.js";

run(process.argv.slice(2)).then(code => process.exit(code));
