export * from "./log.js";
export * from "./metrics.js";
