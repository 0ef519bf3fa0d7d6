export * from "./engine.js";
export * from "./faults.js";
export * from "./link.js";
export * from "./platform.js";
export * from "./service.js";
