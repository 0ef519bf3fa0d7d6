export * from "./devWarning.js";
export * from "./log.js";
export * from "./metrics.js";
