/**
 * Turns off oclif's check of the Node.js version. The check loads package.json from disk when oclif is
 * loaded, which the single executable answers with a warning. This module must be imported before oclif.
 */
process.env.OCLIF_DISABLE_ENGINE_WARNING = "true";
