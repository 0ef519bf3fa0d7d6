export * from "./devWarning.js";
export * from "./eventLog.js";
export * from "./log.js";
export * from "./metrics.js";
export * from "./servingMetrics.js";
