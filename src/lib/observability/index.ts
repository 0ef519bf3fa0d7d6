export * from "./devWarning.js";
export * from "./eventLog.js";
export * from "./exposition.js";
export * from "./log.js";
export * from "./metrics.js";
