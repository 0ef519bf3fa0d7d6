export * from "./log.js";
