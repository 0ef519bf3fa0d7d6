export * from "./engine.js";
export * from "./faults.js";
export * from "./platform.js";
export * from "./regionLinks.js";
export * from "./service.js";
