/**
 * Ignores a SIGHUP that arrives while a role's modules are still loading, which would otherwise end the process. The
 * settings are read afterwards, so there is nothing to reload yet.
 */
import { ROLES } from "./roleNames.js";

if (ROLES.some(role => role === process.argv[2])) process.on("SIGHUP", () => undefined);
