export * from "./localFleet.js";
