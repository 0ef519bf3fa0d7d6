/** Bounds of the requirements, and times of the simulated platform, that several modules of the soak use. */

/** Time after a fault during which its effects are still tolerated (`stability-window-ms` of the requirements). */
export const STABILITY_WINDOW_MS = 3000;

/** Time within which every entry applies a new configuration (`config-apply-ms`). */
export const CONFIG_APPLY_MS = 2000;

/** Time during which a draining server may still get calls (`drain-ms`). */
export const DRAIN_MS = 2000;

/** Time within which no more calls reach an evacuated failure domain (`evacuate-ms`). */
export const EVACUATE_MS = 5000;

/** Regions of the failure domains. */
export const REGION_BY_ZONE: Readonly<Record<string, string>> = { z0: "r", z1: "s" };

/** Allowance for scheduling delays on a busy machine. */
export const SCHEDULING_DELAY_MS = 500;
