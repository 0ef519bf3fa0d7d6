/** A module of its own, so that the command line can look at the variable without loading the translation. */

/** Variable that holds the path of the settings file on the platform. */
export const SETTINGS_VARIABLE = "ENDIVEWELL_SETTINGS";
