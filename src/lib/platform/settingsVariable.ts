/** Defines the settings variable apart from `settings.ts`, so that the command line can read it without loading zod. */

/** Environment variable that holds the path of the platform's settings file. */
export const SETTINGS_VARIABLE = "ENDIVEWELL_SETTINGS";
