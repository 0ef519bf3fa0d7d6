/**
 * Disables oclif's check of the Node.js version. The check reads package.json from disk when oclif is loaded, which
 * causes a warning in the single executable. This module must be imported before oclif.
 */
process.env.OCLIF_DISABLE_ENGINE_WARNING = "true";
