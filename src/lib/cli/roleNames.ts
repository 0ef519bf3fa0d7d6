/** The long-running roles of the program. */
export const ROLES = ["agent", "entry"] as const;

export type Role = (typeof ROLES)[number];
