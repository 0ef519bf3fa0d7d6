/** Defines the settings variable in its own module, so that the command line needn't load `settings.ts` to read it. */

/** Environment variable that holds the path of the platform's settings file. */
export const SETTINGS_VARIABLE = "ENDIVEWELL_SETTINGS";
