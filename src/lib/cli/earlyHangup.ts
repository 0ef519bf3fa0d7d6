/**
 * Keeps a role running through a SIGHUP that arrives while the program is still being loaded. The settings are read
 * after that, so there is nothing to do for it.
 */
import { ROLES } from "./roleNames.js";

if (ROLES.some(role => role === process.argv[2])) process.on("SIGHUP", () => undefined);
